import type { BackendEntry } from '@laburnumshift/forward-types';

/** One process of a backend server, and its service. */
export type LimitedServer = Pick<BackendEntry, 'id' | 'bornMs' | 'service'>;
