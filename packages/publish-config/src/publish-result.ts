import type { ConfigHead, Finding } from '@laburnumshift/types';
import type { FileChange } from './file-change.js';

/** What became of a publish or a rollback. */
export type PublishResult =
  | { readonly kind: 'published'; readonly head: ConfigHead; readonly files: readonly FileChange[] }
  | { readonly kind: 'unchanged'; readonly generation: number }
  | { readonly kind: 'refused'; readonly findings: readonly Finding[] }
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly changeId: string; readonly detail: string };
