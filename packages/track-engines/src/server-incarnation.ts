import type { BackendEntry } from '@laburnumshift/forward-types';

/** One process of a backend server. A restarted server may have the same id; notices of its earlier process do not apply to it. */
export type ServerIncarnation = Pick<BackendEntry, 'id' | 'bornMs'>;
