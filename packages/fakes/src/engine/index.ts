/** A model engine with modelled rates and sizes and fault switches. */
export { computeAnswer } from './compute-answer.js';
export { computeAnswerToken } from './compute-answer-token.js';
export type { EngineCounters } from './engine-counters.js';
export type { EngineFaults } from './engine-faults.js';
export type { EngineRunRecord } from './engine-run-record.js';
export type { FakeEngine } from './fake-engine.js';
export type { FakeEngineOptions } from './fake-engine-options.js';
export { LoadGroup } from './load-group.js';
export { startFakeEngine } from './start-fake-engine.js';
export type { StreamFault } from './stream-fault.js';
export { STREAM_FAULT_KINDS } from './stream-fault-kinds.js';
