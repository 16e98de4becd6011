//! Faults found while settings or documents are checked, each with its path in the input.

use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use std::fmt;

/// Fault in an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the invalid value, such as `workspaces.survey.requests_per_s`.
    pub path: SmolStr,
    /// What is wrong with it.
    pub message: String,
}

/// All faults of an input, in the order in which they were found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault at `path`.
    pub fn add(&mut self, path: impl Into<SmolStr>, message: impl Into<String>) {
        self.0.push(Fault { path: path.into(), message: message.into() });
    }

    /// Adds a fault at `path` if `valid` is false.
    pub fn require(&mut self, valid: bool, path: impl Into<SmolStr>, message: impl Into<String>) {
        if !valid {
            self.add(path, message);
        }
    }

    /// Decodes JSON and adds a fault for each unknown field, so that all unknown fields and invalid
    /// values are reported together.
    ///
    /// # Errors
    ///
    /// The text is not valid JSON, or a value has the wrong type.
    pub fn read_json<T: DeserializeOwned>(&mut self, text: &str) -> serde_json::Result<T> {
        let mut json = serde_json::Deserializer::from_str(text);
        let value = serde_ignored::deserialize(&mut json, |path| {
            self.add(path.to_string(), "is not a setting");
        })?;
        json.end()?;
        Ok(value)
    }

    /// Returns the value of `result`, or adds its faults with `prefix` before their paths.
    pub fn collect_faults<T>(&mut self, prefix: &str, result: Result<T, Self>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(Self(faults)) => {
                let faults = faults.into_iter();
                faults.for_each(|fault| self.add(format!("{prefix}{}", fault.path), fault.message));
                None
            }
        }
    }

    /// Returns `value` if no fault was found.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        self.into_checked(Some(value))
    }

    /// Returns `value` if there is one and no fault was found.
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
