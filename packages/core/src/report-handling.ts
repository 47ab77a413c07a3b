/** Stores a durable report. It counts only if this core is in the request's core set both before and after the sync (design 4.8). */
import type { Reply, Request } from '@stallstall/message';
import type { CoreSetView, ReportStore } from '@stallstall/register';

/** @param coreSetView - undefined if the set of cores is fixed */
export async function storeReport(
  reports: ReportStore,
  coreSetView: CoreSetView | undefined,
  request: Request<'note'>,
): Promise<Reply<'note'>> {
  if (coreSetView === undefined) return reports.store(request);
  const { set, ...report } = request;
  const newer = coreSetView.newerThan(set ?? 0);
  const notCounted: Reply<'note'> = { ready: false, floors: {}, ...(newer === undefined ? {} : { newer }) };
  if (set !== coreSetView.number()) return notCounted;
  const reply = await reports.store(report);
  return set === coreSetView.number() ? reply : notCounted;
}
