//! Macros that define newtypes with `Display` and `FromStr`.

/// Defines a newtype for a validated name that is cheap to clone.
macro_rules! name {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(try_from = "String")]
        pub struct $type(std::sync::Arc<str>);

        impl $type {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::error::check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = $crate::Error;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

/// Defines a newtype for a `u64`.
macro_rules! number {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        pub struct $type(pub u64);

        impl $type {
            /// Returns the next number, saturating at the maximum.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $type {
            type Err = $crate::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| $crate::Error::InvalidNumber)
            }
        }
    };
}

pub(crate) use {name, number};
