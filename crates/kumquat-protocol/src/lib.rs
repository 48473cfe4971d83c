//! Messages between the processes of kumquatpond and their codec.
