//! Entry daemon of kumquatpond: takes callers' HTTP requests.
