import type { BackupChoice } from '@laburnumshift/continue-runs';
import type { BackendEntry } from '@laburnumshift/forward-types';

/** The engine that gets a copy of a run while it runs. */
export interface RunBackup {
  readonly server: BackendEntry;
  readonly choice: BackupChoice;
  /** Records that the copy is no longer needed. */
  readonly release: () => void;
}
