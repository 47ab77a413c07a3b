/** One owner for each table, working through a queue of commands (design 2.5). */
import Denque from 'denque';

export type Owner<Table> = Readonly<{
  name: string;
  /** Queues a command; commands run one at a time, in the order they came. */
  run: <Reply>(command: (table: Table) => Reply | Promise<Reply>) => Promise<Reply>;
}>;

type Pending = () => Promise<void>;

function create<Table>(name: string, table: Table): Owner<Table> {
  const commands = new Denque<Pending>();
  let working = false;

  async function work(): Promise<void> {
    if (working) return;
    working = true;
    for (let next = commands.shift(); next !== undefined; next = commands.shift()) await next();
    working = false;
  }

  function ask<Reply>(command: (owned: Table) => Reply | Promise<Reply>): Promise<Reply> {
    return new Promise<Reply>(function queue(resolve, reject) {
      commands.push(async function run() {
        try {
          resolve(await command(table));
        } catch (error) {
          const failure = error as Error;
          reject(failure);
        }
      });
      void work();
    });
  }

  return { name, run: ask };
}

export const owner = { create } as const;
