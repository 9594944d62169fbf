/** The laburnumshift command line. */
export { runCli } from './run-cli.js';
