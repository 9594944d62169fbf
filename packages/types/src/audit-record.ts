/** One line of the audit trail, kept at `audit/NAME`. */
export interface AuditRecord {
  readonly changeId: string;
  readonly atMs: number;
  readonly author: string;
  readonly action: 'publish' | 'rollback' | 'drain' | 'order';
  readonly fromGeneration: number;
  /** The generation that the change made; absent when it was refused. */
  readonly toGeneration?: number | undefined;
  readonly files: readonly { readonly file: string; readonly change: 'added' | 'changed' | 'removed' }[];
  readonly result: 'accepted' | 'refused' | 'unknown';
  readonly detail: string;
}
