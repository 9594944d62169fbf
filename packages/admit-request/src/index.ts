/** Admission queue: weighted fair queueing with priorities, reserved slots and deadlines. */
export type { AdmissionEntry } from './admission-entry.js';
export type { AdmissionQueueOptions } from './admission-queue-options.js';
export type { AdmissionQueue } from './admission-queue.js';
export type { AdmissionRefusal } from './admission-refusal.js';
export { createAdmissionQueue } from './create-admission-queue.js';
