import type { ConfigHead } from '@laburnumshift/types';

/** The head before the first publish, generation 0. */
export const EMPTY_HEAD: ConfigHead = {
  generation: 0,
  changeId: '',
  author: '',
  publishedAtMs: 0,
  segments: {},
};
