//! Configuration of the small deployment that the cases share.

use crate::store::Store;

pub const MODEL: &str = "daka510000";
pub const ENGINES: &str = "modelos-lenguaje";
pub const APP: &str = "aforos-app";
pub const KEY: &str = "ctnfzs989anu6wsjnban";
pub const TENANT: &str = "sese880";
pub const PROMPT_HOST: &str = "jepu9.example";
pub const PROMPT_PATH: &str = "/lepu270/2f";
pub const NOTE_HOST: &str = "hulo84.example";
pub const NOTE_PATH: &str = "/xapu221/ny95/7";
pub const APP_HOST: &str = "fiti8.example";
pub const READ_PATH: &str = "/fiti832/ti23/2f";
pub const WRITE_PATH: &str = "/fiti832/wo11/2f";
pub const ROUTE_TIMEOUT_MS: u64 = 2_000;

/// Returns a configuration with the given tenants, in JSON.
pub fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[
{{"Name":"r-prompt","Hostname":"{PROMPT_HOST}","PathPrefix":"/lepu270/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":400,"Priority":1,"Service":"{ENGINES}","MaxAttempts":1,"Public":false,"SessionAffinity":true,"Resumable":false,"GapAimMs":250}},
{{"Name":"r-note","Hostname":"{NOTE_HOST}","PathPrefix":"/xapu221/ny95/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":300,"Priority":0,"Service":"{ENGINES}","MaxAttempts":2,"Public":false,"SessionAffinity":true,"Resumable":true,"GapAimMs":250}},
{{"Name":"r-read","Hostname":"{APP_HOST}","PathPrefix":"/fiti832/ti23/","Kind":"safe","TimeoutMs":{ROUTE_TIMEOUT_MS},"TargetLatencyMs":300,"Priority":2,"Service":"{APP}","MaxAttempts":2,"Public":false}},
{{"Name":"r-write","Hostname":"{APP_HOST}","PathPrefix":"/fiti832/wo11/","Kind":"unsafe","TimeoutMs":{ROUTE_TIMEOUT_MS},"TargetLatencyMs":300,"Priority":2,"Service":"{APP}","MaxAttempts":1,"Public":false}}],
"Services":[{{"Name":"{ENGINES}","HealthCheckPath":"/healthz","MaxConnections":290,"Protocol":"h1","Tls":false,"Engine":{{"Slots":48,"KvCapacityTokens":114981,"KvTokenBytes":192512,"LinkMbps":740000.0,"Moves":true,"Backups":true,"Stride":4,"MaxInFlight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"{MODEL}"}}]}}}},
{{"Name":"{APP}","HealthCheckPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
"Tenants":[{tenants}]}}"#
    )
}

/// Returns a tenant of a configuration.
pub fn tenant(name: &str, key: &str, is_isolated: bool) -> String {
    format!(r#"{{"Name":"{name}","ApiKeys":["{key}"],"Priority":1,"Isolated":{is_isolated}}}"#)
}

/// Writes the configuration as the operator does.
pub fn configure(store: &Store, version: u64, tenants: &[String]) {
    store.put("keyed.op", "config", &configuration(version, &tenants.join(",")));
}
