//! The `keygen` module provides the commands that generate keys.

use std::path::Path;

use kumquat_state::bundle::envelope::SigningKey;
use kumquat_state::bundle::{Bundle, CallerKey, Team, render};
use kumquat_state::ident;
use kumquat_state::secret::Key;
use serde_json::json;

use crate::files;
use crate::output::{Failure, Report};
use crate::settings::Settings;

/// Generates a key pair for signing.
pub fn signer(name: ident::Signer, out: &Path) -> Result<Report, Failure> {
    let key = SigningKey::generate(name, &mut rand::rng());
    let mut public_path = out.as_os_str().to_owned();
    public_path.push(".pub");
    let public_path = Path::new(&public_path);
    let public = key.public().to_string();
    let digits = public.rsplit(' ').next().unwrap_or_default();
    let line = format!("{} = {digits}", key.signer());

    files::write_secret(out, &key.expose())?;
    files::write(public_path, format!("{public}\n").as_bytes())?;
    let text = format!(
        "private key: {}\npublic key:  {}\n{public}\n\nadd this line to [signers] in the settings:\n{line}",
        out.display(),
        public_path.display()
    );
    let json = json!({ "private": out, "public": public_path, "public-key": public, "line": line });
    Ok(Report::done(text, json))
}

/// Generates a caller key.
pub fn caller_key(
    settings: &Settings,
    name: &ident::CallerKey,
    team: &ident::Team,
) -> Result<Report, Failure> {
    let pepper = settings.pepper()?;
    let key = Key::generate(&mut rand::rng());
    let section = section(CallerKey {
        digest: pepper.digest(&key),
        name: name.clone(),
        team: team.clone(),
    });
    let secret = key.expose();
    let text = format!(
        "give this key to the caller; it is stored nowhere:\n{secret}\n\nadd this section to the bundle:\n{section}"
    );
    Ok(Report::done(
        text,
        json!({ "key": secret, "section": section }),
    ))
}

/// Returns the section of a caller key in the text of a bundle.
fn section(key: CallerKey) -> String {
    let header = format!("[caller-key {}]", key.name);
    let bundle = Bundle {
        teams: Vec::<Team>::new(),
        caller_keys: vec![key],
        ..Bundle::default()
    };
    let text = render(&bundle);
    let start = text.find(&header).unwrap_or_default();
    text[start..].to_owned()
}
