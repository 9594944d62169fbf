/** Model that all engines of the histories run. */
export const MODEL = 'storyteller';
