/** Route resolution: finds the service and the pool for a call of a client account. */
export { resolveRoute } from './resolve-route.js';
