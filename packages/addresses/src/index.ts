/** Parsing of addresses of the form `IP:port`, and listening on them. */
export { isAddress } from './is-address.js';
export { openListener } from './open-listener.js';
export { parseAddress } from './parse-address.js';
export { retryUntilBound } from './retry-until-bound.js';
