//! Sample values, each with the name of its line in `fixtures/messages.txt`. The numbers and texts within a
//! value differ, so that a test notices two swapped fields.

pub mod freeze;
pub mod history;
pub mod lease;
pub mod maintenance;
pub mod quorum;

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

/// Checks whether bytes are decoded as a certain value.
type CheckDecoding = Box<dyn Fn(&[u8]) -> Result<(), String>>;

/// The encoding of a value by this version, and a check whether other bytes are decoded as that value.
pub struct Sample {
    /// The name of the sample's line in `fixtures/messages.txt`.
    pub name: String,
    /// The bytes as which this version encodes the value.
    pub encoded: Vec<u8>,
    decodes_from: CheckDecoding,
}

impl Sample {
    /// Checks that these bytes are decoded as the value, without a rest.
    pub fn check_decoding(&self, bytes: &[u8]) -> Result<(), String> {
        (self.decodes_from)(bytes)
    }

    /// The sample of a value that is stored or sent as a part of others.
    pub fn of<T>(name: &str, value: T) -> Sample
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug + 'static,
    {
        let encoded = postcard::to_stdvec(&value).expect("the sample can be encoded");
        let decodes_from = move |bytes: &[u8]| {
            let (read, rest) = postcard::take_from_bytes::<T>(bytes).map_err(|error| error.to_string())?;
            check_equal(&read, &value)?;
            check_equal(&rest.len(), &0)
        };
        Sample { name: name.to_owned(), encoded, decodes_from: Box::new(decodes_from) }
    }

    /// The sample of a whole frame, which starts with its version.
    pub fn of_frame(name: &str, value: hillstall_consensus::frame::Frame) -> Sample {
        let encoded = value.encode();
        let decodes_from = move |bytes: &[u8]| {
            let read = hillstall_consensus::frame::Frame::decode(bytes).map_err(|error| error.to_string())?;
            check_equal(&read, &value)?;
            check_equal(&read.encode().as_slice(), &bytes)
        };
        Sample { name: name.to_owned(), encoded, decodes_from: Box::new(decodes_from) }
    }
}

fn check_equal<T: PartialEq + Debug>(read: &T, expected: &T) -> Result<(), String> {
    if read == expected {
        return Ok(());
    }
    Err(format!("decoded as {read:?}, expected {expected:?}"))
}

/// One sample of each variant of an enum. Does not compile unless all variants are listed.
macro_rules! each_variant {
    ($make:path, $type:ty { $($name:literal: $pattern:pat => $value:expr),+ $(,)? }) => {{
        fn name_of(value: &$type) -> &'static str {
            match value {
                $($pattern => $name,)+
            }
        }
        let samples: Vec<(&'static str, $type)> = vec![$(($name, $value)),+];
        for (name, value) in &samples {
            assert_eq!(name_of(value), *name, "the value is of another variant than its name says");
        }
        samples.into_iter().map(|(name, value)| $make(name, value)).collect::<Vec<_>>()
    }};
}
pub(crate) use each_variant;

/// All samples, in the order of the fixture's lines.
pub fn all() -> Vec<Sample> {
    [lease::samples(), freeze::samples(), maintenance::samples(), quorum::samples()]
        .into_iter()
        .flatten()
        .collect()
}
