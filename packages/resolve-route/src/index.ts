/** Finds the service and the pool that serves a client account. */
export { resolveRoute } from './resolve-route.js';
