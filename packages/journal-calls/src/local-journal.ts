import type { CallJournal } from '@laburnumshift/types';

/** The journal as run on one node: it writes to the platform itself, whether or not the node is the home. */
export type LocalJournal = Omit<CallJournal, 'close'> & { readonly close: () => void };
