//! Routes, authentication and OpenAPI description of the administration API.

use coriandertide::admin::access::authenticate;
use coriandertide::admin::routes::find_route;
use coriandertide::admin::{AdminRoute, ErrorCode, openapi};
use coriandertide::document::{Document, Owner, OwnerRole, hash_key};
use http::Method;
use strum::IntoEnumIterator;

#[test]
fn committed_openapi_description_is_current() {
    super::schema::check("../openapi.json", &openapi::description());
}

#[test]
fn every_route_is_matched_and_described() {
    let description = openapi::description();
    for route in AdminRoute::iter() {
        let path = route.path().replace("{edit_id}", "e-1");
        let matched = find_route(&route.method(), &path).unwrap();
        assert_eq!(matched.route, route);
        assert_eq!(matched.parameter.is_some(), route.path().contains('{'));
        let method = route.method().as_str().to_ascii_lowercase();
        let operation = &description["paths"][route.path()][method];
        assert_eq!(operation["security"].is_array(), route.min_role().is_some(), "{route:?}");
    }
    let error_code = |method, path| find_route(&method, path).unwrap_err().code;
    assert_eq!(error_code(Method::DELETE, "/admin/v1/document"), ErrorCode::UnknownMethod);
    assert_eq!(error_code(Method::GET, "/admin/v1/edits/a/b"), ErrorCode::UnknownPath);
    assert_eq!(error_code(Method::GET, "/admin/v1/edits/"), ErrorCode::UnknownPath);
}

#[test]
fn bootstrap_key_is_valid_only_while_the_document_has_no_owners() {
    let bootstrap_key_hash = hash_key("bootstrap");
    let caller_of = |key, document: &Document| {
        authenticate(key, Some(document), Some(&bootstrap_key_hash))
            .map(|caller| (caller.name.to_string(), caller.owner.role))
            .map_err(|error| error.code)
    };
    let mut document = Document::default();
    let invalid_key = Err(ErrorCode::InvalidKey);
    assert_eq!(caller_of(None, &document), invalid_key);
    assert_eq!(caller_of(Some("other"), &document), invalid_key);
    let expected = (String::from("bootstrap"), OwnerRole::Administrator);
    assert_eq!(caller_of(Some("bootstrap"), &document), Ok(expected));
    let owner =
        Owner { key_hashes: vec![hash_key("r")], role: OwnerRole::Reader, sections: Vec::new() };
    document.owners.insert("team".into(), owner);
    assert_eq!(caller_of(Some("bootstrap"), &document), invalid_key);
    assert_eq!(caller_of(Some("r"), &document), Ok((String::from("team"), OwnerRole::Reader)));
    let caller = authenticate(Some("r"), Some(&document), None).unwrap();
    assert_eq!(caller.require_role(OwnerRole::Editor).unwrap_err().code, ErrorCode::Forbidden);
}
