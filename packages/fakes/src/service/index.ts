/** Fake plain service with fault switches. */
export type { FakeServiceOptions } from './fake-service-options.js';
export type { FakeService } from './fake-service.js';
export type { FaultServer } from './fault-server.js';
export { readBody } from './read-body.js';
export { sendJson } from './send-json.js';
export type { ServiceCallRecord } from './service-call-record.js';
export type { ServiceFaults } from './service-faults.js';
export { startFakeService } from './start-fake-service.js';
export { startFaultServer } from './start-fault-server.js';
