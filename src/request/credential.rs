//! Extracts the caller's key and removes it from headers and query.

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, COOKIE, HeaderName, HeaderValue};
use percent_encoding::percent_decode_str;

const BEARER_PREFIX: &str = "Bearer ";

/// The key sent with a request.
pub type CallerKey = String;

/// Extracts the key from headers and query and removes every copy of it there.
///
/// The order of search is: the header `name`, `Authorization: Bearer`, the cookie `name`, the
/// query parameter `name`. The first key found is returned.
///
/// ```
/// use hyper::HeaderMap;
/// use lentilway::request::credential::take_key;
/// let mut headers = HeaderMap::new();
/// headers.insert("lentilway-key", "k1".parse().unwrap());
/// headers.insert("copy", "k1".parse().unwrap());
/// let mut path = "/stock?a=1&b=k1".to_string();
/// assert_eq!(take_key(&mut headers, &mut path, "lentilway-key").as_deref(), Some("k1"));
/// assert_eq!((headers.len(), path.as_str()), (0, "/stock?a=1"));
/// ```
pub fn take_key(headers: &mut HeaderMap, path: &mut String, name: &str) -> Option<CallerKey> {
    let mut keys: Vec<CallerKey> = header_keys(headers, name).collect();
    keys.extend(bearer_keys(headers));
    keys.extend(cookie_keys(headers, name));
    keys.extend(query_keys(path, name));
    remove_named(headers, path, name);
    keys.iter().for_each(|key| remove_copies(headers, path, key));
    keys.into_iter().next()
}

fn header_keys<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = CallerKey> + 'a {
    header_values(headers, name).map(|value| value.trim().to_string())
}

fn bearer_keys(headers: &HeaderMap) -> impl Iterator<Item = CallerKey> {
    let values = header_values(headers, AUTHORIZATION.as_str());
    values.filter_map(|value| Some(value.strip_prefix(BEARER_PREFIX)?.trim().to_string()))
}

fn cookie_keys<'a>(headers: &'a HeaderMap, name: &'a str) -> impl Iterator<Item = CallerKey> + 'a {
    let pairs = header_values(headers, COOKIE.as_str()).flat_map(|value| value.split(';'));
    pairs.filter_map(|pair| value_of(pair.trim(), name))
}

fn query_keys(path: &str, name: &str) -> Vec<CallerKey> {
    let query = path.split_once('?').map(|(_, query)| query).unwrap_or_default();
    query.split('&').filter_map(|pair| value_of(pair, name)).collect()
}

fn header_values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> + 'a {
    headers.get_all(name).iter().filter_map(|value| value.to_str().ok())
}

fn value_of(pair: &str, name: &str) -> Option<CallerKey> {
    Some(pair.strip_prefix(name)?.strip_prefix('=')?.to_string())
}

fn remove_named(headers: &mut HeaderMap, path: &mut String, name: &str) {
    headers.remove(name);
    headers.remove(AUTHORIZATION);
    retain_cookies(headers, |pair| !is_named(pair, name));
    retain_query(path, |pair| !is_named(pair, name));
}

fn is_named(pair: &str, name: &str) -> bool {
    pair.trim().split('=').next() == Some(name)
}

fn remove_copies(headers: &mut HeaderMap, path: &mut String, key: &str) {
    if key.is_empty() {
        return;
    }
    let containing: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains_key(value.as_bytes(), key.as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in containing {
        headers.remove(name);
    }
    retain_query(path, |pair| !contains_encoded_key(pair, key));
}

/// Whether `bytes` contain `key`.
pub fn contains_key(bytes: &[u8], key: &[u8]) -> bool {
    !key.is_empty() && bytes.windows(key.len()).any(|window| window == key)
}

/// Whether `text`, percent-decoded, contains `key`.
pub fn contains_encoded_key(text: &str, key: &str) -> bool {
    let decoded: Vec<u8> = percent_decode_str(text).collect();
    contains_key(&decoded, key.as_bytes())
}

fn retain_cookies(headers: &mut HeaderMap, keep: impl Fn(&str) -> bool) {
    let values: Vec<String> = header_values(headers, COOKIE.as_str())
        .map(|value| value.split(';').filter(|pair| keep(pair)).collect::<Vec<_>>().join(";"))
        .filter(|value| !value.trim().is_empty())
        .collect();
    headers.remove(COOKIE);
    for value in values {
        if let Ok(value) = HeaderValue::from_str(value.trim()) {
            headers.append(COOKIE, value);
        }
    }
}

fn retain_query(path: &mut String, keep: impl Fn(&str) -> bool) {
    let Some((head, query)) = path.split_once('?') else {
        return;
    };
    let kept = query.split('&').filter(|pair| keep(pair)).collect::<Vec<_>>().join("&");
    *path = if kept.is_empty() { head.to_string() } else { format!("{head}?{kept}") };
}
