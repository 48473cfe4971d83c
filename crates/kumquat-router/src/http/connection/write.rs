//! The `write` module provides the output of a connection.

use std::io::IoSlice;

use tokio::io::Interest;

use super::{HttpConnection, MAX_WRITTEN_SLICES, MIN_READ_BYTES};
use crate::errors::{Error, Result};

impl HttpConnection {
    /// Writes some of `parts` or, if the peer accepts no more for now, reads what it sends.
    pub(super) async fn write_or_read(
        &mut self,
        parts: &[&[u8]],
        written: &mut usize,
    ) -> Result<()> {
        self.charge().await;
        match self.try_write_parts(parts, *written) {
            Ok(count) => {
                self.uncharged_bytes += count;
                *written += count;
                return Ok(());
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        if !self.stream.ready(interest).await?.is_readable() {
            return Ok(());
        }
        match self
            .stream
            .try_read_buf(self.buffer.reserve(MIN_READ_BYTES))
        {
            Ok(0) => Err(Error::Truncated),
            Ok(count) => {
                self.uncharged_bytes += count;
                Ok(())
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Writes some of the bytes of all `parts` from an index on, without waiting; returns how many.
    pub(super) fn try_write_parts(
        &self,
        parts: &[&[u8]],
        mut index: usize,
    ) -> std::io::Result<usize> {
        let mut slices = [IoSlice::new(&[]); MAX_WRITTEN_SLICES];
        let mut count = 0;
        for part in parts {
            if index >= part.len() {
                index -= part.len();
            } else if count < MAX_WRITTEN_SLICES {
                slices[count] = IoSlice::new(&part[index..]);
                (index, count) = (0, count + 1);
            }
        }
        self.stream.try_write_vectored(&slices[..count])
    }

    /// Closes the sending direction of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn shutdown_write(&mut self) -> Result<()> {
        Ok(tokio::io::AsyncWriteExt::shutdown(&mut self.stream).await?)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails; part of the bytes may then have been sent.
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<()> {
        self.write_parts(&[bytes]).await
    }

    /// Writes all bytes of `parts` in their order.
    ///
    /// # Errors
    ///
    /// As for [`Self::write_all`].
    pub async fn write_parts(&mut self, parts: &[&[u8]]) -> Result<()> {
        let length = parts.iter().map(|part| part.len()).sum();
        let mut written = 0;
        while written < length {
            self.charge().await;
            match self.try_write_parts(parts, written) {
                Ok(count) => {
                    self.uncharged_bytes += count;
                    written += count;
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.end_turn();
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}
