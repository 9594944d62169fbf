/** The laburnumshift command-line interface. */
export { runCli } from './run-cli.js';
