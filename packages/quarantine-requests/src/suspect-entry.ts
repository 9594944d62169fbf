import type { SuspectNotice } from '@laburnumshift/types';

/** What a node knows of a suspect. */
export interface SuspectEntry {
  readonly notice: Omit<SuspectNotice, 'claim'>;
  /** The one run that is permitted; time in monotonic milliseconds. */
  claim?: { readonly requestId: string; readonly host: string; readonly untilMs: number } | undefined;
  /** Version of the lasting copy; absent while only messages told of the suspect. */
  version?: number | undefined;
}
