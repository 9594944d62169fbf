/** Creates refusals and renders findings and peer errors as text. */
export { createRefusal } from './create-refusal.js';
export { FindingsError } from './findings-error.js';
export { REFUSAL_HTTP_STATUS } from './refusal-http-status.js';
export { renderFinding } from './render-finding.js';
export { renderPeerError } from './render-peer-error.js';
