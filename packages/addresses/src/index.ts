/** Parsing of addresses of the form `IP:port`, and listening on them. */
export { openListener } from './open-listener.js';
export { splitAddress } from './split-address.js';
