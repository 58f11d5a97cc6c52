//! Decodes the fields and records of a batch.

use super::{FrameError, Record, LIST_SLOTS};
use hillstall_decision::{BackendInfo, BackendState, Event, ListKind, LoadReport, Outcome};

/// Size of an entry of an endpoint list, in bytes.
const ENDPOINT_SIZE: usize = 22;

/// Codes of the records of a batch.
mod record_code {
    pub const PROVISION: u8 = 0;
    pub const ENDPOINTS_CHANGED: u8 = 1;
    pub const REQUEST: u8 = 2;
    pub const FIRST_BYTE: u8 = 3;
    pub const OUTCOME: u8 = 4;
    pub const CLIENT_GONE: u8 = 5;
    pub const TIMER: u8 = 6;
    pub const PROBE_RESULT: u8 = 7;
    pub const MESSAGE: u8 = 8;
    pub const HALT: u8 = 9;
    pub const ENDPOINT_LIST: u8 = 10;
}

/// Flag bits of a request record.
mod request_flag {
    pub const HAS_EXPECTED_WORK: u8 = 1;
    pub const IS_RETRY: u8 = 2;
    pub const IS_WRITE: u8 = 4;
}

/// Decodes values from the front of a byte slice.
pub struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    /// Creates a reader that starts at the first byte.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    /// Returns the number of bytes not yet read.
    pub fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, size: usize) -> Result<&'a [u8], FrameError> {
        if size > self.bytes.len() {
            return Err(FrameError::FieldPastEnd(size));
        }
        let (field, rest) = self.bytes.split_at(size);
        self.bytes = rest;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads a 32-bit unsigned integer.
    pub fn u32(&mut self) -> Result<u32, FrameError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, FrameError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, FrameError> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    /// Reads a 64-bit floating point number.
    pub fn f64(&mut self) -> Result<f64, FrameError> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    /// Reads one record.
    pub fn record(&mut self) -> Result<Record<'a>, FrameError> {
        let code = self.u8()?;
        // The only record without an instance number.
        if code == record_code::ENDPOINT_LIST {
            return self.endpoint_list();
        }
        if code > record_code::ENDPOINT_LIST {
            return Err(FrameError::UnknownRecord(code));
        }
        let instance = self.u32()?;
        let event = match code {
            record_code::PROVISION => return self.provision(instance),
            record_code::ENDPOINTS_CHANGED => return self.endpoints_changed(instance),
            record_code::HALT => return Ok(Record::Halt { instance }),
            record_code::REQUEST => self.request()?,
            record_code::FIRST_BYTE => self.first_byte()?,
            record_code::OUTCOME => self.attempt_outcome()?,
            record_code::CLIENT_GONE => Event::ClientGone { request: self.u64()? },
            record_code::TIMER => Event::Timer { token: self.u64()? },
            record_code::PROBE_RESULT => self.probe_result()?,
            record_code::MESSAGE => self.message()?,
            unknown => return Err(FrameError::UnknownRecord(unknown)),
        };
        Ok(Record::Event { instance, event })
    }

    fn provision(&mut self, instance: u32) -> Result<Record<'a>, FrameError> {
        let seed = self.u64()?;
        let size = self.u32()? as usize;
        Ok(Record::Provision { instance, seed, settings: self.take(size)? })
    }

    fn endpoint_list(&mut self) -> Result<Record<'a>, FrameError> {
        let slot = self.u8()?;
        check_slot(slot)?;
        let count = self.u32()? as usize;
        let size = count.checked_mul(ENDPOINT_SIZE).filter(|size| *size <= self.bytes.len());
        let mut entries = Reader::new(self.take(size.ok_or(FrameError::ListPastEnd(count))?)?);
        let endpoints = (0..count).map(|_| entries.endpoint()).collect::<Result<_, _>>()?;
        Ok(Record::EndpointList { slot, endpoints })
    }

    fn endpoint(&mut self) -> Result<BackendInfo, FrameError> {
        let (id, zone, kind, cell) = (self.u32()?, self.u16()?, self.u8()?, self.u16()?);
        let state = match self.u8()? {
            0 => BackendState::Draining,
            1 => BackendState::Gone,
            2 => BackendState::Ready,
            other => return Err(FrameError::UnknownBackendState(other)),
        };
        let (rating, started) = (f64::from(self.f32()?), self.f64()?);
        let started_at = (started != 0.0).then_some(started);
        Ok(BackendInfo { id, zone, kind, cell, state, rating, started_at })
    }

    fn endpoints_changed(&mut self, instance: u32) -> Result<Record<'a>, FrameError> {
        let kind = match self.u8()? {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            other => return Err(FrameError::UnknownListKind(other)),
        };
        let (version, slot) = (self.u32()?, self.u8()?);
        if kind != ListKind::Failed {
            check_slot(slot)?;
        }
        Ok(Record::EndpointsChanged { instance, kind, version, slot })
    }

    fn request(&mut self) -> Result<Event<'a>, FrameError> {
        let (id, key) = (self.u64()?, self.u64()?);
        let (tenant, class) = (self.u16()?, self.u8()?);
        let (expected_work_ms, flags, timeout_ms) = (self.f64()?, self.u8()?, self.f64()?);
        let has_flag = |flag: u8| flags & flag != 0;
        Ok(Event::Request {
            id,
            key: (key != 0).then_some(key),
            class,
            tenant,
            expected_work_ms: has_flag(request_flag::HAS_EXPECTED_WORK).then_some(expected_work_ms),
            is_retry: has_flag(request_flag::IS_RETRY),
            is_write: has_flag(request_flag::IS_WRITE),
            timeout_ms,
        })
    }

    fn first_byte(&mut self) -> Result<Event<'a>, FrameError> {
        let (request, attempt) = (self.u64()?, self.u8()?);
        let (took_ms, backend) = (self.f64()?, self.u32()?);
        Ok(Event::FirstByte { request, attempt, backend, took_ms })
    }

    fn attempt_outcome(&mut self) -> Result<Event<'a>, FrameError> {
        let (request, attempt, backend) = (self.u64()?, self.u8()?, self.u32()?);
        let (outcome, took_ms) = (self.outcome()?, self.f64()?);
        let (ended, report) = (self.u8()? != 0, self.load_report()?);
        Ok(Event::Outcome { request, attempt, backend, outcome, took_ms, ended, report })
    }

    fn probe_result(&mut self) -> Result<Event<'a>, FrameError> {
        let (backend, took_ms) = (self.u32()?, self.f64()?);
        let (outcome, report) = (self.outcome()?, self.load_report()?);
        Ok(Event::ProbeResult { backend, outcome, took_ms, report })
    }

    fn message(&mut self) -> Result<Event<'a>, FrameError> {
        let from = self.u16()?;
        let size = usize::from(self.u16()?);
        Ok(Event::Message { from, bytes: self.take(size)? })
    }

    fn outcome(&mut self) -> Result<Outcome, FrameError> {
        Ok(match self.u16()? {
            0 => Outcome::Ok,
            255 => Outcome::Error,
            254 => Outcome::Rejected,
            253 => Outcome::Timeout,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            other => return Err(FrameError::UnknownOutcome(other)),
        })
    }

    /// Reads a load report. Values beyond the capacity of [`LoadReport`] are skipped.
    fn load_report(&mut self) -> Result<LoadReport, FrameError> {
        let count = usize::from(self.u8()?);
        let mut report = LoadReport::default();
        for index in 0..count {
            let value = self.f32()?;
            if let Some(slot) = report.values.get_mut(index) {
                *slot = value;
                report.len += 1;
            }
        }
        Ok(report)
    }
}

fn check_slot(slot: u8) -> Result<(), FrameError> {
    match usize::from(slot) < LIST_SLOTS {
        true => Ok(()),
        false => Err(FrameError::InvalidListSlot(slot)),
    }
}
