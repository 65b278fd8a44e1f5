//! Macros that define newtypes with `Display` and `FromStr`.

/// Defines a name: a checked, cheaply cloned text.
macro_rules! name {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(try_from = "String")]
        pub struct $type(std::sync::Arc<str>);

        impl $type {
            /// The name as text.
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

/// Defines a number with a meaning of its own.
macro_rules! number {
    ($(#[$meta:meta])* $type:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        pub struct $type(pub u64);

        impl $type {
            /// The number that follows this one.
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
                text.parse().map(Self).map_err(|_| $crate::Error::Number)
            }
        }
    };
}

pub(crate) use {name, number};
