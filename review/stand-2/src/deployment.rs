//! A small deployment: the configuration of one proxy, and its start.

use crate::caller::Callers;
use crate::channel::Channel;
use crate::world::{World, free_address, write};
use std::sync::Arc;

/// Settings of a deployment.
pub struct Site {
    pub class: &'static str,
    pub tenant: Option<&'static str>,
    settings: &'static str,
}

/// Vltavice: one class, three tenants, four attempts, no probes.
pub const VLTAVICE: Site = Site {
    class: "session-lookup",
    tenant: Some("tv-vltavice"),
    settings: r#"{"balancers":5,"clients":{"marks_retry":false},
"contract":{"answer_slack":20000,"ask_every":10000000,"cold":15000000,"fall":1000000,"fall_multiple":2.0,"start_capacity":0.31,"stop_sending_within":1000000},
"costs":{"connection":0.0,"cross_zone":0.02,"handshake":0.0,"late_fail":0.053,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"registry_mode":0.0,"waste":0.16},
"counted_by":"request","layers":["setup-servers"],
"limits":{"cancel":true,"conn_idle":600000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout":500000,"max_open":20000,"max_retry_after":2000000,"parallel_tries":false,"peers":false,"probes":false,"retry_after":true,"streams_per_conn":1048576,"try_limit":4},
"me":0,"models":["small-1c"],"over_share_worth":0.05,
"parties":[{"allowance_per_s":16.0,"fraction":0.55,"name":"tv-vltavice"},{"allowance_per_s":10.0,"fraction":0.33,"name":"kanal-sever"},{"allowance_per_s":3.0,"fraction":0.12,"name":"kanal-jih"}],
"profiles":[{"credit":1.0,"effect":"safe","goal_time":1200000,"group":"all","hard_limit":9000000,"late_worth":0.25,"name":"session-lookup","stream":true,"window":5000000}],
"registry_mode":"automatic","report":{"columns":["spare","total","cpu_share","pending"],"how":"inline"},
"result_mix":{"whole":0.7,"worst_class":0.0,"worst_tenant":0.1,"worst_window":0.2},
"specifics":{"allowed_pools":[[0,1]],"channels_needed":[1],"class_hold":[9000000],"gives_wait":true,"hints_route":false,"layout":"groups","release_guard":300000,"remote_load":"inline","repeat":0,"self_no":-1},
"tick":5000,"tier":0,"weight_source":"off","workload":"trunks","zone":0,"zones":["stred","sever","jih","zapad"]}"#,
};

/// Licencias: two classes, no tenants, five attempts, probes.
pub const LICENCIAS: Site = Site {
    class: "renovacion",
    tenant: None,
    settings: r#"{"balancers":5,"clients":{"marks_retry":false},
"contract":{"answer_slack":20000,"ask_every":10000000,"cold":14000000,"fall":3000000,"fall_multiple":3.0,"start_capacity":0.31,"stop_sending_within":500000},
"costs":{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.004,"registry_mode":0.0,"waste":0.02},
"counted_by":"request","layers":["setup-servers"],
"limits":{"cancel":true,"conn_idle":600000000,"cpu_us_per_request":0.0,"cpu_us_per_s":300000,"dial_timeout":500000,"max_open":20000,"max_retry_after":2000000,"parallel_tries":false,"peers":true,"probes":true,"retry_after":true,"streams_per_conn":1048576,"try_limit":5},
"me":0,"models":["std-1"],"over_share_worth":1.0,"parties":[],
"profiles":[{"credit":1.0,"effect":"safe","goal_time":1500000,"group":"all","hard_limit":9000000,"late_worth":0.1,"name":"consulta","stream":true,"window":5000000},{"credit":3.0,"effect":"safe","goal_time":2000000,"group":"all","hard_limit":9000000,"late_worth":0.1,"name":"renovacion","stream":true,"window":5000000}],
"registry_mode":"automatic","report":{"columns":["spare","total","cpu_share","pending"],"how":"on_probe"},
"result_mix":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2},
"specifics":{"allowed_pools":[[0,1],[0,1]],"channels_needed":[1,1],"class_hold":[9000000,7200000],"gives_wait":false,"hints_route":false,"layout":"groups","release_guard":300000,"remote_load":"on_probe","repeat":500000,"self_no":-1},
"tick":5000,"tier":0,"weight_source":"off","workload":"trunks","zone":0,"zones":["stred","occidente","centro","sureste"]}"#,
};

/// Starts one proxy with these settings, and gives its callers once it is ready.
pub fn start(world: &Arc<World>, site: &Site, channel: &Channel) -> Arc<Callers> {
    let listen = free_address();
    let path = world.folder.join("config.json");
    let config = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"channel\":\"{}\",\"known\":{},\"settings\":{}}}",
        channel.address,
        channel.known(),
        site.settings
    );
    write(&path, &config);
    let path = path.to_string_lossy().into_owned();
    let variables =
        [("PROXY_NAME", "n1"), ("PROXY_LISTEN", listen.as_str()), ("PROXY_CONFIG", path.as_str())];
    world.start("run", &variables);
    let callers = Callers::new(world, &listen, site.class, site.tenant);
    callers.wait_ready();
    callers
}
