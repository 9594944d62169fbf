import bunyan from 'bunyan';
import { createLineSink } from './create-line-sink.js';

const STDOUT = 1;
const sink = createLineSink(STDOUT);
process.on('exit', sink.flush);

/** The logger of this process; all parts are children of it. Lines go to standard output and never block. */
export const ROOT_LOGGER = bunyan.createLogger({
  name: 'laburnumshift',
  level: 'warn',
  stream: sink as unknown as NodeJS.WritableStream,
});
