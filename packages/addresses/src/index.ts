/** Addresses of the form `IP:port`. */
export { openListener } from './open-listener.js';
export { splitAddress } from './split-address.js';
