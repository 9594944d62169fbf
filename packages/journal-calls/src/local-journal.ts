import type { CallJournal } from '@laburnumshift/types';

/** A journal that writes to the platform from this node, whether or not the node is the home of a shard. */
export type LocalJournal = Omit<CallJournal, 'close'> & { readonly close: () => void };
