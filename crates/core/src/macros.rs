//! Macros that add the derives used throughout the workspace.

/// Declares value types with the common derives.
///
/// Each type gets `Debug`, `Clone`, `PartialEq`, `serde::Serialize` and `serde::Deserialize`.
#[macro_export]
macro_rules! derive_value {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}

/// Declares identifier types backed by a shared string, with the common derives and conversions.
#[macro_export]
macro_rules! derive_id {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// Creates the identifier from any text; nothing is checked.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(::std::sync::Arc::from(text.as_ref()))
                }

                /// Text that the identifier was created from.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl ::std::convert::From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self::new(text)
                }
            }

            impl ::std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }
        )+
    };
}

/// Declares small `Copy` types with the common derives.
///
/// Each type also gets equality, hashing, total order, `serde::Serialize` and `serde::Deserialize`.
#[macro_export]
macro_rules! derive_scalar {
    ($($item:item)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )+
    };
}
