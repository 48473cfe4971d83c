//! Small stand-ins of the outside systems that kumquatpond talks to.
