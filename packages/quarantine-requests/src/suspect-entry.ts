import type { SuspectNotice } from '@laburnumshift/types';

/** State of a suspect on a node. */
export interface SuspectEntry {
  readonly notice: Omit<SuspectNotice, 'claim'>;
  /** The claim of the one permitted run; it ends at `untilMs`, in monotonic milliseconds of this node. */
  claim?: { readonly requestId: string; readonly host: string; readonly untilMs: number } | undefined;
  /** Version of the stored copy on the platform; absent while the suspect is known from messages only. */
  version?: number | undefined;
}
