//! Faults found while raw input is checked, each with its path in the input.

use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use std::fmt;

/// One fault in an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the faulty value, such as `workspaces.survey.requests_per_s`.
    pub path: SmolStr,
    /// What is wrong with it.
    pub message: String,
}

/// All faults found in an input, in the order in which they were found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault at `path`.
    pub fn add(&mut self, path: impl Into<SmolStr>, message: impl Into<String>) {
        self.0.push(Fault { path: path.into(), message: message.into() });
    }

    /// Adds `message` at `path` unless `holds`.
    pub fn require(&mut self, holds: bool, path: impl Into<SmolStr>, message: impl Into<String>) {
        if !holds {
            self.add(path, message);
        }
    }

    /// Reads JSON and adds a fault for each field that is not known, so that one does not hide the
    /// next or a wrong value.
    ///
    /// # Errors
    ///
    /// The text is no JSON, or a value has the wrong type.
    pub fn read_json<T: DeserializeOwned>(&mut self, text: &str) -> serde_json::Result<T> {
        let mut json = serde_json::Deserializer::from_str(text);
        let value = serde_ignored::deserialize(&mut json, |path| {
            self.add(path.to_string(), "is not a setting");
        })?;
        json.end()?;
        Ok(value)
    }

    /// Returns a checked part, or adds its faults with `path` before theirs.
    pub fn collect_faults<T>(&mut self, path: &str, part: Result<T, Self>) -> Option<T> {
        match part {
            Ok(part) => Some(part),
            Err(Self(found)) => {
                let found = found.into_iter();
                found.for_each(|fault| self.add(format!("{path}{}", fault.path), fault.message));
                None
            }
        }
    }

    /// Returns `value` if no fault was found.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        self.into_checked(Some(value))
    }

    /// Returns `value` if it is there and no fault was found.
    pub fn into_checked<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Fault { path, message }) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{path}: {message}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
