/** Checks HTTP/1.1 answers, and the heads of requests, whatever the parser of the runtime accepts. */
export { createResponseCheck } from './create-response-check.js';
export { findRequestFault } from './find-request-fault.js';
export type { ResponseCheck } from './response-check.js';
export { watchResponse } from './watch-response.js';
