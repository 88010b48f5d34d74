//! The connections to discovery and relay. When these move, the new ones are dialled while the old ones still stand, and
//! each old one goes when its new one serves: a discovery once it has told its list, a relay once it tells its news.

use crate::calls::{self, Call};
use crate::word::{Told, Word};
use crate::{discovery, news};
use pondarch_platform_protocol::config::Around;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

pub(crate) struct Parties {
    say: mpsc::Sender<Told>,
    around: Around,
    age: u64,
    lists: Moving<AbortOnDropHandle<()>>,
    news: Moving<AbortOnDropHandle<()>>,
    calls: Moving<Caller>,
    /// Tasks of callers: a caller without a sender ends by itself, once its call has.
    callers: JoinSet<()>,
}

/// What serves now, and what served before, until the new one does.
struct Moving<T> {
    now: (u64, T),
    before: Option<(u64, T)>,
}

struct Caller {
    calls: mpsc::Sender<Call>,
    up: bool,
    /// Whether that relay has begun to tell its news. One that merely accepts connections may answer nothing at all.
    tells: bool,
}

impl<T> Moving<T> {
    /// Of two moves in a row the first one's party goes, which never served; what still serves stays. It went with
    /// the second move, and nothing served until the third party did.
    fn to(&mut self, age: u64, next: T) {
        let last = std::mem::replace(&mut self.now, (age, next));
        self.before.get_or_insert(last);
    }

    /// Whether a word from there counts; the new one's first good word ends the old one.
    fn counts(&mut self, age: u64, serves: bool) -> bool {
        if age == self.now.0 {
            self.before.take_if(|_| serves);
            return true;
        }
        self.before
            .as_ref()
            .is_some_and(|(before, _)| *before == age)
    }
}

impl Parties {
    pub(crate) fn start(around: Around, version: Option<u64>, say: mpsc::Sender<Told>) -> Parties {
        let mut callers = JoinSet::new();
        Parties {
            lists: Moving {
                now: (1, lists(around, 1, version, &say)),
                before: None,
            },
            news: Moving {
                now: (1, owned(news::run(around.relay, 1, say.clone()))),
                before: None,
            },
            calls: Moving {
                now: (1, caller(around, 1, &say, &mut callers)),
                before: None,
            },
            callers,
            age: 1,
            around,
            say,
        }
    }

    /// The parties are elsewhere from now on.
    pub(crate) fn moved(&mut self, around: Around) {
        self.age += 1;
        if around.discovery != self.around.discovery {
            self.lists
                .to(self.age, lists(around, self.age, None, &self.say));
        }
        if around.relay != self.around.relay {
            self.news.to(
                self.age,
                owned(news::run(around.relay, self.age, self.say.clone())),
            );
            let caller = caller(around, self.age, &self.say, &mut self.callers);
            self.calls.to(self.age, caller);
        }
        self.around = around;
    }

    /// Whether this word still counts.
    pub(crate) fn counts(&mut self, age: u64, word: &Word) -> bool {
        while self.callers.try_join_next().is_some() {}
        match word {
            Word::Listed(_) => self.lists.counts(age, true),
            Word::ListLost(_) => self.lists.counts(age, false),
            Word::NewsBegan => {
                self.caller(age, |caller| caller.tells = true);
                self.news.counts(age, true)
            }
            Word::News(_) | Word::NewsLost(_) => self.news.counts(age, false),
            Word::CallsUp | Word::CallsDown(_) => {
                let up = matches!(word, Word::CallsUp);
                self.caller(age, |caller| caller.up = up)
            }
            _ => true,
        }
    }

    /// Notes something of the caller of that age; gives whether its words still count.
    fn caller(&mut self, age: u64, note: impl Fn(&mut Caller)) -> bool {
        let callers = [Some(&mut self.calls.now), self.calls.before.as_mut()];
        callers
            .into_iter()
            .flatten()
            .filter(|(of, _)| *of == age)
            .for_each(|(_, caller)| note(caller));
        let serves = self.calls.now.1.up && self.calls.now.1.tells;
        self.calls.counts(age, serves)
    }

    /// Who takes calls: what served before, until the new one is known to serve.
    fn serving(&self) -> Option<&Caller> {
        let before = self.calls.before.as_ref().map(|(_, caller)| caller);
        [before, Some(&self.calls.now.1)]
            .into_iter()
            .flatten()
            .find(|caller| caller.up)
    }

    pub(crate) fn can_call(&self) -> bool {
        self.serving().is_some()
    }

    /// Hands a call over; gives it back if nobody can take it.
    pub(crate) fn call(&self, call: Call) -> Result<(), Call> {
        let Some(caller) = self.serving() else {
            return Err(call);
        };
        caller
            .calls
            .try_send(call)
            .map_err(|wrong| wrong.into_inner())
    }
}

/// A task that ends with its owner.
fn owned(work: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(work))
}

fn lists(
    around: Around,
    age: u64,
    version: Option<u64>,
    say: &mpsc::Sender<Told>,
) -> AbortOnDropHandle<()> {
    owned(discovery::run(around.discovery, age, version, say.clone()))
}

fn caller(around: Around, age: u64, say: &mpsc::Sender<Told>, tasks: &mut JoinSet<()>) -> Caller {
    // One call is under way at most.
    let (calls, queue) = mpsc::channel(1);
    tasks.spawn(calls::run(around.relay, age, queue, say.clone()));
    Caller {
        calls,
        up: false,
        tells: false,
    }
}
