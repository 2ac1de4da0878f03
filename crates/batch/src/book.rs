//! All jobs and workers, and the events that change them.

use std::rc;

use base::{clock::Millis, sorted::SortedMap};
use serde::Serialize;

use crate::{
    advice::{Advice, Question, StepId},
    capacity::Worker,
    job::{Accepted, Step, TaskId, Text},
    progress::{Occurrence, Phase, Progress, Run, RunState, Task},
    reserve::UrgentLoad,
    rules::Rules,
    worker::{Action, Info, Order},
};

/// A stop that shows no effect is sent again after this time; a worker answers within
/// milliseconds, and a channel that went silent is replaced by then.
const STOP_RETRY: Millis = Millis(400);

/// A job and its progress.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) rec: Accepted,
    pub(crate) progress: Progress,
    /// When it was last logged why the job waits.
    pub(crate) noted: Millis,
}

/// Changes since the last commit.
#[derive(Debug, Default)]
pub struct Batch {
    /// Progress of jobs to store.
    pub records: Vec<(Text, Progress)>,
    /// Orders to send once the records are stored.
    pub orders: Vec<Order>,
    /// Ends that may be acknowledged once the records are stored: worker, life, number.
    pub seen: Vec<(Text, u64, u64)>,
    /// Jobs of which a first subtask was placed: priority of the queue and time since submission.
    pub started: Vec<(u32, Millis)>,
}

/// Numbers that describe a book.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Jobs, ended ones included.
    pub jobs: usize,
    /// Jobs that have not ended.
    pub open: usize,
    /// Runs that may exist.
    pub runs: usize,
    /// Workers in the list.
    pub workers: usize,
}

/// All jobs and workers.
///
/// ```
/// use batch::book::Book;
/// let mut book = Book::default();
/// assert!(book.take().records.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Book {
    pub(crate) jobs: SortedMap<Text, Job>,
    pub(crate) workers: SortedMap<Text, Worker>,
    pub(crate) rules: rc::Rc<Rules>,
    pub(crate) orders: Vec<Order>,
    pub(crate) dirty: Vec<Text>,
    pub(crate) urgent: UrgentLoad,
    pub(crate) started: Vec<(u32, Millis)>,
    pub(crate) advice: SortedMap<StepId, Advice>,
    pub(crate) questions: Vec<Question>,
}

impl Book {
    /// Takes over a job with its stored progress. Runs in it are settled with their workers.
    ///
    /// ```
    /// # use batch::{book::Book, job::Accepted, progress::Phase};
    /// # let rec: Accepted = serde_json::from_str(
    /// #     r#"{"id":"1","queue":"q","service":"s","organisation":null,"at":1,
    /// #     "spec":{"text":"","steps":[{"count":1}],"repeat":null}}"#).unwrap();
    /// let mut book = Book::default();
    /// book.restore(rec, None);
    /// assert_eq!(book.phase("1"), Some(Phase::Queued));
    /// ```
    pub fn restore(&mut self, rec: Accepted, progress: Option<Progress>) {
        let progress = progress.unwrap_or_else(|| Progress::new(&rec));
        let job = Job {
            rec,
            progress,
            noted: Millis::ZERO,
        };
        for (task, run) in job.runs() {
            let need = job.step(&task).reserved();
            let worker = self.workers.get_or_default(run.worker.clone());
            worker.born = run.born;
            worker.add(task, need);
        }
        self.jobs.insert(job.rec.id.clone(), job);
    }

    /// Adds a job; one that is known stays as it is.
    ///
    /// ```
    /// # use batch::{book::Book, job::Accepted};
    /// # let rec: Accepted = serde_json::from_str(
    /// #     r#"{"id":"1","queue":"q","service":"s","organisation":null,"at":1,
    /// #     "spec":{"text":"","steps":[{"count":1}],"repeat":null}}"#).unwrap();
    /// let mut book = Book::default();
    /// assert!(book.accept(rec.clone()));
    /// assert!(!book.accept(rec));
    /// ```
    pub fn accept(&mut self, rec: Accepted) -> bool {
        if self.jobs.get(&*rec.id).is_some() {
            return false;
        }
        self.restore(rec, None);
        true
    }

    /// Returns the phase of a job.
    ///
    /// ```
    /// assert!(batch::book::Book::default().phase("1").is_none());
    /// ```
    pub fn phase(&self, id: &str) -> Option<Phase> {
        self.jobs.get(id).map(|j| j.progress.phase)
    }

    /// Returns the number of jobs of each queue for which no subtask has started.
    ///
    /// ```
    /// assert!(batch::book::Book::default().pending().iter().next().is_none());
    /// ```
    pub fn pending(&self) -> SortedMap<Text, u64> {
        let mut pending = SortedMap::default();
        for (_, job) in self.jobs.iter() {
            if job.progress.phase == Phase::Queued {
                *pending.get_or_default(job.rec.queue.clone()) += 1;
            }
        }
        pending
    }

    /// Replaces the configuration.
    ///
    /// ```
    /// batch::book::Book::default().configure(&Default::default());
    /// ```
    pub fn configure(&mut self, rules: &rc::Rc<Rules>) {
        self.rules = rules.clone();
    }

    /// Cancels a job: its runs are stopped and none starts any more.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert!(!batch::book::Book::default().cancel("1", Millis(1), Millis(1)));
    /// ```
    pub fn cancel(&mut self, id: &str, now: Millis, wall: Millis) -> bool {
        let open = |p: Phase| !p.is_final();
        if !self.phase(id).is_some_and(open) {
            return false;
        }
        self.finish(id, Phase::Cancelled, now, wall);
        true
    }

    /// Removes final jobs that ended before `wall`, without runs; returns their ids.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert!(batch::book::Book::default().forget(Millis(1), 10).is_empty());
    /// ```
    pub fn forget(&mut self, wall: Millis, most: usize) -> Vec<Text> {
        let old = |j: &Job| {
            j.progress.phase.is_final() && j.progress.at < wall && j.runs().next().is_none()
        };
        let ids = self.jobs.iter().filter(|(_, j)| old(j));
        let ids: Vec<Text> = ids.map(|(id, _)| id.clone()).take(most).collect();
        for id in &ids {
            self.jobs.remove(id);
        }
        ids
    }

    /// Takes the changes since the last call.
    ///
    /// ```
    /// assert!(batch::book::Book::default().take().orders.is_empty());
    /// ```
    pub fn take(&mut self) -> Batch {
        self.dirty.sort_unstable();
        self.dirty.dedup();
        let dirty = std::mem::take(&mut self.dirty);
        let record = |id: Text| {
            let progress = self.jobs.get(&id)?.progress.clone();
            Some((id, progress))
        };
        let records = dirty.into_iter().filter_map(record).collect();
        let seen = self.workers.iter().filter(|(_, w)| w.processed > w.acked);
        let seen = seen.map(|(id, w)| (id.clone(), w.born, w.processed));
        Batch {
            records,
            seen: seen.collect(),
            orders: std::mem::take(&mut self.orders),
            started: std::mem::take(&mut self.started),
        }
    }

    /// Takes the questions to the policy service since the last call. They change nothing that is
    /// stored, so they need no commit.
    ///
    /// ```
    /// assert!(batch::book::Book::default().take_questions().is_empty());
    /// ```
    pub fn take_questions(&mut self) -> Vec<Question> {
        std::mem::take(&mut self.questions)
    }

    /// Returns whether there is anything to commit.
    ///
    /// ```
    /// assert!(!batch::book::Book::default().has_changes());
    /// ```
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty() || !self.orders.is_empty()
    }

    /// Notes that the ends of a batch are stored, so that workers may forget them.
    ///
    /// ```
    /// batch::book::Book::default().committed(&[("w".into(), 1, 5)]);
    /// ```
    pub fn committed(&mut self, seen: &[(Text, u64, u64)]) {
        for (id, born, seq) in seen {
            if let Some(worker) = self.workers.get_mut(id).filter(|w| w.born == *born) {
                worker.acked = worker.acked.max(*seq);
            }
        }
    }

    /// Returns the life of the worker and the number up to which it may forget its ends.
    ///
    /// ```
    /// assert_eq!(batch::book::Book::default().acked("w"), None);
    /// ```
    pub fn acked(&self, worker: &str) -> Option<(u64, u64)> {
        self.workers.get(worker).map(|w| (w.born, w.acked))
    }

    /// Returns the workers on which something may run or whose ends are not acknowledged.
    ///
    /// ```
    /// assert!(batch::book::Book::default().used().is_empty());
    /// ```
    pub fn used(&self) -> Vec<Text> {
        let ids = self.workers.iter().map(|(id, _)| id);
        ids.filter(|id| self.is_used(id)).cloned().collect()
    }

    /// Returns the number of runs that may exist on a worker.
    ///
    /// ```
    /// assert_eq!(batch::book::Book::default().runs_on("w"), 0);
    /// ```
    pub fn runs_on(&self, worker: &str) -> usize {
        self.workers.get(worker).map_or(0, |w| w.runs.len())
    }

    /// Returns the organisation of a job.
    ///
    /// ```
    /// assert!(batch::book::Book::default().organisation("1").is_none());
    /// ```
    pub fn organisation(&self, id: &str) -> Option<Text> {
        self.jobs.get(id)?.rec.organisation.clone()
    }

    /// Returns numbers that describe the book.
    ///
    /// ```
    /// assert_eq!(batch::book::Book::default().counts().jobs, 0);
    /// ```
    pub fn counts(&self) -> Counts {
        let jobs = || self.jobs.iter().map(|(_, j)| j);
        let workers = || self.workers.iter().map(|(_, w)| w);
        Counts {
            jobs: self.jobs.len(),
            open: jobs().filter(|j| !j.progress.phase.is_final()).count(),
            runs: workers().map(|w| w.runs.len()).sum(),
            workers: workers().filter(|w| w.info.is_some()).count(),
        }
    }

    /// Returns whether any run may exist on the worker.
    ///
    /// ```
    /// assert!(!batch::book::Book::default().is_used("w"));
    /// ```
    pub fn is_used(&self, worker: &str) -> bool {
        let used = |w: &Worker| !w.runs.is_empty() || w.processed > w.acked;
        self.workers.get(worker).is_some_and(used)
    }

    /// Notes whether a worker answers; one that does not gets no new work, and for a while after.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::book::Book::default().answers("w", false, Millis(1));
    /// ```
    pub fn answers(&mut self, worker: &str, answers: bool, now: Millis) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.answers(answers, now);
        }
    }

    /// Replaces the list of workers. One that is no longer listed gets no new work; its runs
    /// stay until the worker says otherwise or its lease is over.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::book::Book::default().list(Vec::new(), Millis(1));
    /// ```
    pub fn list(&mut self, infos: Vec<Info>, now: Millis) {
        let ids: Vec<Text> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.info = None;
        }
        for info in infos {
            let known = self.workers.get_or_default(info.id.clone());
            if known.born == 0 || known.runs.is_empty() && known.born != info.born {
                known.born = info.born;
                known.processed = 0;
                known.acked = 0;
            }
            let id = info.id.clone();
            known.info = Some(info);
            self.note_leaving(&id, now);
        }
        let unused = |w: &Worker| w.info.is_none() && w.runs.is_empty();
        let gone = self.workers.iter().filter(|(_, w)| unused(w));
        let gone: Vec<Text> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.workers.remove(&id);
        }
    }

    /// Ends a job: all its runs are stopped.
    pub(crate) fn finish(&mut self, id: &str, phase: Phase, now: Millis, wall: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        log::info!(job = id, phase:%, before:% = job.progress.phase; "batch: phase");
        job.progress.phase = phase;
        job.progress.at = wall;
        self.dirty.push(job.rec.id.clone());
        self.forget_advice(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // Members of a gang that is done end by themselves.
        let undone = |t: &TaskId| job.task(t).is_some_and(|t| !t.done);
        let tasks = job.runs().map(|(task, _)| task).filter(undone);
        let tasks: Vec<TaskId> = tasks.collect();
        for task in tasks {
            self.stop(&task, now);
        }
    }

    /// Orders the stop of the run of a subtask, if there is one; a stop without effect is
    /// repeated.
    pub(crate) fn stop(&mut self, task: &TaskId, now: Millis) {
        let Some(t) = self.task_mut(task) else {
            return;
        };
        let attempt = t.attempt;
        let Some(run) = &mut t.run else {
            return;
        };
        if run.state == RunState::Stopping && now.since(run.ordered) < STOP_RETRY {
            return;
        }
        run.state = RunState::Stopping;
        run.ordered = now;
        let worker = run.worker.clone();
        self.order_stop(worker, task.clone(), attempt);
    }

    pub(crate) fn order_stop(&mut self, worker: Text, task: TaskId, attempt: u32) {
        self.orders.push(Order {
            worker,
            task,
            attempt,
            action: Action::Stop,
        });
    }

    pub(crate) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&id.job)?;
        let occurrence = job.progress.occurrences.get_mut(id.occurrence as usize)?;
        occurrence.steps.get_mut(id.step)?.get_mut(id.index)
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.jobs.get(&id.job)?.task(id)
    }

    /// Returns the run of a subtask, with its step.
    pub(crate) fn run_of(&self, id: &TaskId) -> Option<(&Run, &Step)> {
        let job = self.jobs.get(&id.job)?;
        Some((job.task(id)?.run.as_ref()?, job.step(id)))
    }

    /// Returns the step of a subtask of a known job.
    pub(crate) fn step_of(&self, id: &TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.rec.spec.steps.get(id.step)
    }
}

impl Job {
    pub(crate) fn step(&self, id: &TaskId) -> &Step {
        &self.rec.spec.steps[id.step]
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.progress.occurrences.get(id.occurrence as usize)?;
        occurrence.steps.get(id.step)?.get(id.index)
    }

    /// Returns all runs that may exist.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (TaskId, &Run)> {
        let occurrences = self.progress.occurrences.iter().enumerate();
        occurrences.flat_map(move |(k, o)| {
            o.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().filter_map(move |(index, t)| {
                    let run = t.run.as_ref()?;
                    Some((self.task_id(k, step, index), run))
                })
            })
        })
    }

    pub(crate) fn task_id(&self, occurrence: usize, step: usize, index: usize) -> TaskId {
        TaskId {
            job: self.rec.id.clone(),
            occurrence: occurrence as u32,
            step,
            index,
        }
    }

    /// Returns whether the steps before `step` are done.
    pub(crate) fn is_open(&self, occurrence: &Occurrence, step: usize) -> bool {
        let done = |s: &usize| occurrence.steps[*s].iter().all(|t| t.done);
        self.rec.spec.steps[step].after.iter().all(done)
    }

    /// Returns whether all occurrences are done.
    pub(crate) fn is_done(&self) -> bool {
        let due = self.rec.spec.repeat.map_or(1, |r| r.count as usize);
        self.progress.occurrences.len() >= due
            && self.progress.occurrences.iter().all(Occurrence::is_done)
    }
}
