/** Registry of runs; a resent request attaches to the run that exists. */
export {};
