import type { BackendEntry } from '@laburnumshift/forward-types';
import type { BrokenCall } from './broken-call.js';

/** Tells crashes of backend servers from connections that broke off for other reasons. */
export interface CrashDetector {
  /** Records a call whose connection broke off. */
  readonly recordBrokenCall: (server: BackendEntry, call: BrokenCall) => void;
}
