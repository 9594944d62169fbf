import { fileURLToPath } from 'node:url';

/** Path of the `laburnumshift` command in this workspace. */
export const COMMAND_LINE = fileURLToPath(new URL('../../../cli/bin/laburnumshift.js', import.meta.url));
