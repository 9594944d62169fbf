import { Cli } from 'clipanion';
import { MeasureDaemonsCommand } from './measure-daemons-command.js';

const cli = new Cli({
  binaryName: 'measure-daemons',
  binaryLabel: 'laburnumshift measurements over daemons',
});
cli.register(MeasureDaemonsCommand);
await cli.runExit(process.argv.slice(2));
