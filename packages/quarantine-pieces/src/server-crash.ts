import type { BrokenCall } from './broken-call.js';
import type { CrashRecord } from './crash-record.js';

/** A confirmed crash of a backend server, with calls of this host that it broke off. */
export interface ServerCrash extends CrashRecord {
  readonly service: string;
  readonly calls: readonly BrokenCall[];
}
