//! [`LimitTable`]: the stocks, links and buckets of the rate limits at this VM.

use std::cell;
use std::collections;
use std::rc;

use tokio::sync::Notify;

use crate::decide::rate_limit;
use crate::model::ids;
use crate::node::rate_limits::{bucket_holder, holder_link, place_check, workspace_stock};
use crate::node::{edge, node_log, node_tables};

/// Tells a link to a holder that an ask is due.
pub type LinkSignal = Notify;

/// The stocks, links and buckets of the rate limits at this VM.
#[derive(Debug, Default)]
pub struct LimitTable {
    stocks: cell::RefCell<
        collections::BTreeMap<ids::WorkspaceName, rc::Rc<workspace_stock::WorkspaceStock>>,
    >,
    links: cell::RefCell<collections::BTreeMap<ids::VmId, rc::Rc<LinkSignal>>>,
    /// Buckets that this VM holds.
    pub holder: bucket_holder::BucketHolder,
    /// What other VMs say of this VM's place among the members.
    pub place: place_check::PlaceCheck,
    /// Changes of the members that the holders of the stocks reflect.
    members_seen: cell::Cell<u64>,
}

impl LimitTable {
    /// Returns the stock of a workspace, and creates it if needed.
    pub fn stock<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
        workspace: &str,
        limit: rate_limit::RateLimit,
    ) -> rc::Rc<workspace_stock::WorkspaceStock> {
        self.update_holders(tables);
        let now = tables.edge.boot_time();
        if let Some(stock) = self.stocks.borrow().get(workspace) {
            stock.stock.borrow_mut().set_limit(limit, now);
            return rc::Rc::clone(stock);
        }
        let holder = tables.limit_holder(workspace);
        let stock = workspace_stock::WorkspaceStock::new(workspace, holder, limit, now);
        let stock = rc::Rc::new(stock);
        self.stocks
            .borrow_mut()
            .insert(workspace.to_owned(), rc::Rc::clone(&stock));
        stock
    }

    /// Returns the stocks whose bucket `vm` holds.
    #[must_use]
    pub fn stocks_of(&self, vm: &str) -> Vec<rc::Rc<workspace_stock::WorkspaceStock>> {
        let stocks = self.stocks.borrow();
        let held = stocks.values().filter(|stock| *stock.holder.borrow() == vm);
        held.cloned().collect()
    }

    /// Asks the holder of a stock if that is due.
    pub fn ask_if_due<E: edge::NodeEdge>(
        &self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        stock: &workspace_stock::WorkspaceStock,
    ) {
        let now = tables.edge.boot_time();
        if !stock.is_ask_due(now) {
            return;
        }
        let holder = stock.holder.borrow().clone();
        if holder != tables.vm {
            return self.link(tables, &holder).notify_one();
        }
        let Some(ask) = stock.ask(now) else {
            return;
        };
        let reply = self.holder.grant(tables, &holder, &stock.workspace, ask);
        stock.record_reply(reply, true, now);
    }

    /// Drops stocks that are not needed, and asks the holders of the others if that is due.
    pub fn update<E: edge::NodeEdge>(&self, tables: &rc::Rc<node_tables::NodeTables<E>>) {
        self.holder.update(tables);
        self.update_holders(tables);
        let now = tables.edge.boot_time();
        let config = tables.config();
        let members = tables.member_count();
        let informed = bucket_holder::is_informed(tables);
        self.stocks.borrow_mut().retain(|workspace, stock| {
            let limit = bucket_holder::limit_of(config.as_deref(), workspace);
            limit.is_some_and(|limit| {
                let mut tokens = stock.stock.borrow_mut();
                tokens.set_limit(limit, now);
                tokens.set_members(members);
                tokens.set_informed(informed);
                !tokens.is_unused(now)
            })
        });
        let stocks: Vec<_> = self.stocks.borrow().values().cloned().collect();
        for stock in stocks {
            stock.refusals.check_end(&stock.workspace, now);
            self.ask_if_due(tables, &stock);
        }
    }

    /// Ends the link to a holder that has no stock here. Returns whether it ends.
    pub fn end_link(&self, vm: &str) -> bool {
        let unused = self.stocks_of(vm).is_empty();
        if unused {
            self.links.borrow_mut().remove(vm);
        }
        unused
    }

    fn link<E: edge::NodeEdge>(
        &self,
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        vm: &str,
    ) -> rc::Rc<LinkSignal> {
        if let Some(signal) = self.links.borrow().get(vm) {
            return rc::Rc::clone(signal);
        }
        let signal = rc::Rc::new(LinkSignal::new());
        self.links
            .borrow_mut()
            .insert(vm.to_owned(), rc::Rc::clone(&signal));
        tokio::task::spawn_local(holder_link::run(
            rc::Rc::clone(tables),
            vm.to_owned(),
            rc::Rc::clone(&signal),
        ));
        signal
    }

    /// Updates the holders of the stocks after a change of the members.
    fn update_holders<E: edge::NodeEdge>(&self, tables: &node_tables::NodeTables<E>) {
        let changes = tables.member_changes.get();
        if self.members_seen.replace(changes) == changes {
            return;
        }
        for stock in self.stocks.borrow().values() {
            let holder = tables.limit_holder(&stock.workspace);
            let before = stock.holder.replace(holder.clone());
            if before != holder {
                node_log::info(
                    "limit_holder_changed",
                    &[
                        ("workspace", &stock.workspace),
                        ("before", &before),
                        ("holder", &holder),
                    ],
                );
                stock.stock.borrow_mut().change_holder();
            }
        }
    }
}
