//! JSON-RPC methods by which routers request tokens from each other and hand over shares.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::ids::{OrganisationName, Term};
use guava_core::quota::{Handover, RouterIncarnation, SHARES, TakeAnswer, TakeRequest, UNITS_PER_TOKEN};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::{ErrorObjectOwned, Params};

use super::QuotaService;

pub(super) const TAKE: &str = "quota.take";
pub(super) const HANDOVER: &str = "quota.handover";

/// JSON-RPC error code for a call that was addressed to another incarnation of this router.
const WRONG_RECEIVER: i32 = -32_001;
/// JSON-RPC error code for an organisation whose configuration this router has not received.
const UNKNOWN_ORGANISATION: i32 = -32_002;

derive_value! {
    /// Parameters of `quota.take`.
    pub(super) struct TakeParams {
        pub(super) organisation: OrganisationName,
        pub(super) from: RouterIncarnation,
        pub(super) to: RouterIncarnation,
        pub(super) request: TakeRequest,
    }

    /// Parameters of `quota.handover`.
    pub(super) struct HandoverParams {
        pub(super) organisation: OrganisationName,
        pub(super) to: RouterIncarnation,
        pub(super) share: usize,
        pub(super) term: Term,
        pub(super) state: Handover,
    }
}

impl QuotaService {
    /// Returns the JSON-RPC methods that other routers call.
    ///
    /// # Errors
    ///
    /// Fails only if a method is registered twice.
    pub fn rpc(self: &Arc<Self>) -> Result<RpcModule<()>, RegisterMethodError> {
        let mut module = RpcModule::new(());
        let service = Arc::clone(self);
        module.register_method(TAKE, move |params, (), _| service.serve_take(&params))?;
        let service = Arc::clone(self);
        module.register_method(HANDOVER, move |params, (), _| service.serve_handover(&params))?;
        Ok(module)
    }

    fn serve_take(&self, params: &Params<'_>) -> Result<TakeAnswer, ErrorObjectOwned> {
        let params: TakeParams = params.parse()?;
        self.check_receiver(&params.to)?;
        let account = self.account(&params.organisation).ok_or_else(unknown_organisation)?;
        let now = self.node.clock.now();
        let answer = account.ledger.lock().serve_take(now, &params.from, &params.request);
        let units: u64 = answer.grants.iter().map(|(_, units)| units).sum();
        if units > 0 {
            account.granted_units.fetch_add(units, Ordering::Relaxed);
            let detail = format!(
                "{} tokens of {} to {}",
                units / UNITS_PER_TOKEN,
                params.organisation,
                params.from.member
            );
            self.node.timeline.record(Event::QuotaGranted, None, None, &detail);
        }
        Ok(answer)
    }

    fn serve_handover(&self, params: &Params<'_>) -> Result<bool, ErrorObjectOwned> {
        let params: HandoverParams = params.parse()?;
        self.check_receiver(&params.to)?;
        let account = self.account(&params.organisation).ok_or_else(unknown_organisation)?;
        if params.share >= SHARES {
            return Ok(false);
        }
        let now = self.node.clock.now();
        let accepted = account
            .ledger
            .lock()
            .accept_handover(now, params.share, params.term, params.state);
        if accepted {
            self.record_share_taken(&params.organisation, params.share, params.term);
        }
        Ok(accepted)
    }

    fn check_receiver(&self, to: &RouterIncarnation) -> Result<(), ErrorObjectOwned> {
        if *to == self.me {
            Ok(())
        } else {
            Err(ErrorObjectOwned::owned(
                WRONG_RECEIVER,
                "sent to another life of this router",
                None::<()>,
            ))
        }
    }
}

fn unknown_organisation() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNKNOWN_ORGANISATION, "organisation not known here", None::<()>)
}
