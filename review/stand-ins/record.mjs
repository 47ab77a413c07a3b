/** Writes record.txt in the folder of a case: what was sent, answered and run, in seconds since the start. */
import fs from 'node:fs';

export function createRecord(file) {
  const startedAt = Date.now();
  const descriptor = fs.openSync(file, 'w');
  return function record(line) {
    fs.writeSync(descriptor, `${((Date.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);
  };
}
