/** A record of the audit trail, stored as the platform object `audit/NAME`. */
export interface AuditRecord {
  readonly changeId: string;
  /** Milliseconds since the epoch. */
  readonly atMs: number;
  readonly author: string;
  readonly action: 'publish' | 'rollback' | 'drain' | 'order';
  readonly fromGeneration: number;
  /** Generation that the change created; absent when the change was refused. */
  readonly toGeneration?: number | undefined;
  readonly files: readonly { readonly file: string; readonly change: 'added' | 'changed' | 'removed' }[];
  readonly result: 'accepted' | 'refused' | 'unknown';
  readonly detail: string;
}
