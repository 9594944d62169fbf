import { functionVerbs } from './function-verbs.js';
import { importBoundaries } from './import-boundaries.js';
import { noDefaultClock } from './no-default-clock.js';
import { noEnums } from './no-enums.js';
import { noWireNames } from './no-wire-names.js';
import { oneExport } from './one-export.js';

/** Lint rules for the parts of the house style that no published plugin covers. */
export const houseRules = {
  rules: {
    'function-verbs': functionVerbs,
    'import-boundaries': importBoundaries,
    'no-default-clock': noDefaultClock,
    'no-enums': noEnums,
    'no-wire-names': noWireNames,
    'one-export': oneExport,
  },
};
