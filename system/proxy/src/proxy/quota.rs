//! Quotas of tenants in the proxy: requests take units of leases, which the registry grants.

use super::Proxy;
use fennelscale_config::Tenant;
use fennelscale_messages::session::ProxyToRegistry;
use fennelscale_quota_lease::{Admission, Quota, QuotaRequest};
use std::time::Duration;
use tokio::sync::oneshot;

impl Proxy {
    /// Drops the leases of tenants whose limit was removed.
    pub(super) fn forget_removed_limits(&self, changed: &[String]) {
        let mut admissions = Vec::new();
        for tenant in changed.iter().filter_map(|name| name.strip_prefix("t:")) {
            let limited =
                self.routing_state.borrow().table.tenant_by_name(tenant).is_some_and(|t| t.rate_per_s > 0.0);
            if !limited {
                self.cache.borrow_mut().remove_tenant(tenant, &mut admissions);
            }
        }
        self.apply_cache_output(Vec::new(), admissions);
    }

    pub(super) fn tick(&self) {
        let (mut messages, mut admissions) = (Vec::new(), Vec::new());
        self.cache.borrow_mut().tick(self.now(), &mut messages, &mut admissions);
        self.apply_cache_output(messages, admissions);
    }

    /// Sends the messages of the lease cache, and passes its admissions to the waiting requests.
    pub(super) fn apply_cache_output(
        &self, messages: Vec<ProxyToRegistry>, admissions: Vec<(u64, Admission)>,
    ) {
        messages.iter().for_each(|message| self.send(message));
        for (request, admission) in admissions {
            if let Some(answer) = self.waiting.borrow_mut().remove(&request) {
                let _ = answer.send(admission);
            }
        }
    }

    /// Takes a unit of a tenant's lease, waiting for a grant no longer than `wait`. Fails with the time in ms
    /// after which the client should retry. While units are scarce, requests that are too `late` for their
    /// target latency go last.
    pub async fn admit(&self, tenant: &Tenant, wait: Duration, late: bool) -> Result<(), f64> {
        let terms = Quota { rate: tenant.rate_per_s, burst: tenant.burst };
        if terms.rate <= 0.0 {
            return Ok(());
        }
        let (now, request) = (self.now(), self.next_request.get());
        self.next_request.set(request + 1);
        let mut messages = Vec::new();
        let until = now + wait.as_secs_f64() * 1000.0;
        let comer = QuotaRequest { id: request, deadline: until, is_late: late };
        let admission = self.cache.borrow_mut().admit(now, &tenant.name, terms, comer, &mut messages);
        let receiver = (admission == Admission::Queued).then(|| {
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().insert(request, sender);
            receiver
        });
        self.apply_cache_output(messages, Vec::new());
        let admission = match receiver {
            // The receiver is dropped with the request when the client disconnects; the unit is then lost for
            // this window.
            Some(receiver) => receiver.await.unwrap_or(Admission::Rejected(0.0)),
            None => admission,
        };
        match admission {
            Admission::Admitted => Ok(()),
            Admission::Rejected(wait) => Err(wait),
            Admission::Queued => Err(0.0),
        }
    }

    /// Returns the unspent units to the registry.
    pub(super) fn return_units(&self) {
        let mut messages = Vec::new();
        self.cache.borrow_mut().return_units(self.now(), &mut messages);
        self.apply_cache_output(messages, Vec::new());
    }
}
