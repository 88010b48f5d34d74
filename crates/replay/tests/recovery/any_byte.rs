//! A run is recorded, and its files are cut or flipped at any byte; what is recovered is compared with a core that was not
//! killed.

use crate::harness::{RecordedRun, START, apply_steps, last_segment, recover_folder, step};
use pondarch_daemon_core::Input;
use pondarch_event_log::{FileNames, Folder, list_file_names};
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};
use pondarch_replay::what_if::{ExtractedScenario, extract_scenario, replay_scenario};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Killed at any byte of a write: what is recovered is the state of a core that was not killed, after one of its last
    /// inputs: the one that is last on record. The run that follows recovers the same, and so does the one after.
    #[test]
    fn a_kill_at_any_byte_recovers_the_state_after_some_input(
        steps in prop::collection::vec(step(), 1..40), segment in 600u64..20_000, cut: prop::sample::Index, dns: bool,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("a lock"), segment, dns, START, START);
        apply_steps(&mut run, &steps);
        let states = std::mem::take(&mut run.states);
        run.log.end();
        let last = last_segment(folder.path());
        let bytes = std::fs::read(&last).expect("it can be read");
        std::fs::write(&last, &bytes[..cut.index(bytes.len() + 1)]).expect("written");
        let recovery = recover_folder(folder.path(), dns);
        prop_assert!(recovery.incarnation == START || recovery.state.is_none());
        let Some(mut back) = recovery.state else { return Ok(()) };
        // By the last input that changes the recovered state; later ones move the time alone.
        let at = back.at_us;
        let same = states.iter().rev().find(|then| then.at_us == at);
        prop_assert!(same.is_some(), "no state at {at}");
        let same = same.cloned().expect("one");
        // Serials go on where a view was made anew: never back.
        // The last decision may be the one thing that was cut off: the next run begins 100 higher.
        prop_assert!(back.dns_serial + 100 >= same.dns_serial);
        back.dns_serial = same.dns_serial;
        prop_assert_eq!(&back, &same);
        // The next run begins with it, and is killed before it wrote anything but that.
        let mut next = RecordedRun::start(Folder::lock(folder.path()).expect("a lock"), segment, dns, START + 1, at + 1_000);
        next.give(Input::Recovered(Box::new(same.clone())));
        next.log.end();
        let again = recover_folder(folder.path(), dns).state.expect("a state");
        prop_assert_eq!((again.at_us, &again.list), (at + 1_000, &same.list));
        prop_assert!(again.dns_serial >= same.dns_serial);
    }

    /// Any byte of any file flipped: never a panic, never a host that was not listed.
    #[test]
    fn a_flipped_byte_is_reported_and_no_foreign_state_is_recovered(
        steps in prop::collection::vec(step(), 5..40), file: prop::sample::Index, byte: prop::sample::Index, bit in 0u8..8,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("a lock"), 2_000, false, START, START);
        apply_steps(&mut run, &steps);
        let states = std::mem::take(&mut run.states);
        run.log.end();
        let FileNames { segments, snapshots } = list_file_names(&Folder::read_only(folder.path())).expect("files");
        let names: Vec<String> = segments.into_iter().chain(snapshots).collect();
        let file = folder.path().join(&names[file.index(names.len())]);
        let mut bytes = std::fs::read(&file).expect("it can be read");
        let at = byte.index(bytes.len());
        bytes[at] ^= 1 << bit;
        std::fs::write(&file, &bytes).expect("written");
        let recovery = recover_folder(folder.path(), false);
        if let Some(back) = &recovery.state {
            // Records behind the damaged one are read as well: what they say in full is used, such as a whole list.
            let lists: Vec<_> = states.iter().flat_map(|then| then.hosts().iter().map(|host| &host.entry.name)).collect();
            prop_assert!(back.hosts().iter().all(|host| lists.contains(&&host.entry.name)));
        }
        replay(&Folder::read_only(folder.path()), ComparedInputs::default()).ok();
    }

    /// A recorded run replays to the same decisions, and its scenario to the same result each time.
    #[test]
    fn a_recorded_run_replays_to_the_same_decisions(steps in prop::collection::vec(step(), 3..30), dns: bool) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = RecordedRun::start(Folder::lock(folder.path()).expect("a lock"), 3_000, dns, START, START);
        apply_steps(&mut run, &steps);
        let inputs = run.number;
        run.log.end();
        let FolderReplay { runs, faults } = replay(&Folder::read_only(folder.path()), ComparedInputs::default()).expect("it can be read");
        prop_assert!(faults.is_empty(), "{:?}", faults);
        prop_assert_eq!((runs.len(), runs[0].inputs, &runs[0].difference, &runs[0].stopped), (1, inputs, &None, &None));
        let ExtractedScenario { scenario, .. } = extract_scenario(&Folder::read_only(folder.path()), None).expect("a scene");
        let result = replay_scenario(&scenario, None, 3).expect("a result");
        prop_assert_eq!(&result, &replay_scenario(&scenario, None, 3).expect("a result"));
        prop_assert!(result.max_messages <= 12);
    }
}
