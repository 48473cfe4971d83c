//! Coordination library for routers to servers that own keys exclusively.
