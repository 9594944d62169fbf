import type { BackendEntry } from '@laburnumshift/forward-types';

/** A server that may be cold. */
export type ColdServer = Pick<BackendEntry, 'id' | 'coldUntilMs'>;
