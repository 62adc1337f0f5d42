pub(crate) mod router;
pub(crate) mod serve_engine;
pub(crate) mod serve_router;
pub(crate) mod slopes;
