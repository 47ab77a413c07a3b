/** One stand-in as a process of its own: `stand-in-main.js member|platform '<settings as JSON>'` (design 10.1). */
import * as Option from 'fp-ts/lib/Option.js';
import { nodeRuntime } from '@stallstall/runtime';
import { member, platform, type MemberSettings, type PlatformSettings } from '@stallstall/fakes';

const [kind, text] = process.argv.slice(2);
const runtime = await nodeRuntime.create(`stand-in-${kind}`, Option.none);
if (kind === 'member') await member.start(runtime, JSON.parse(text ?? '{}') as MemberSettings, member.emptyStore(false));
else if (kind === 'platform') await platform.start(runtime, JSON.parse(text ?? '{}') as PlatformSettings, platform.emptyStore());
else throw new Error('name a stand-in: member or platform');
runtime.log('stand-in.runs', { kind });
