/** Serializes the access to a table: its owner runs queued commands one at a time (design 2.5). */
import Denque from 'denque';

export type Owner<Table> = Readonly<{
  name: string;
  /** Queues a command. Commands run one at a time in the order of the calls. */
  run: <Reply>(command: (table: Table) => Reply | Promise<Reply>) => Promise<Reply>;
}>;

type QueuedCommand = () => Promise<void>;

function create<Table>(name: string, table: Table): Owner<Table> {
  const commands = new Denque<QueuedCommand>();
  let isDraining = false;

  async function drainQueue(): Promise<void> {
    if (isDraining) return;
    isDraining = true;
    for (let next = commands.shift(); next !== undefined; next = commands.shift()) await next();
    isDraining = false;
  }

  function run<Reply>(command: (owned: Table) => Reply | Promise<Reply>): Promise<Reply> {
    return new Promise<Reply>(function enqueue(resolve, reject) {
      commands.push(async function runNext() {
        try {
          resolve(await command(table));
        } catch (error) {
          const failure = error as Error;
          reject(failure);
        }
      });
      void drainQueue();
    });
  }

  return { name, run };
}

export const owner = { create } as const;
