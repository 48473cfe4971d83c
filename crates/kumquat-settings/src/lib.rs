//! Settings of the kumquatpond daemons, read from INI files.
